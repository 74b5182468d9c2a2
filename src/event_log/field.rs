//! Sanitizes foreign text for use as a field's value, so that it can end neither the field nor the line.

/// The longest quoted value, in characters; longer text is cut off.
const MAX_QUOTED_CHARS: usize = 160;

/// The longest unquoted value, in characters; longer text is cut off.
const MAX_UNQUOTED_CHARS: usize = 80;

/// Sanitizes a text for use as a quoted value.
pub fn to_quoted_value(text: &str) -> String {
    let characters = text.chars().take(MAX_QUOTED_CHARS);
    characters
        .map(|character| match character {
            '"' => '\'',
            character if character.is_control() => ' ',
            character => character,
        })
        .collect()
}

/// Sanitizes a text for use as an unquoted value.
pub fn to_unquoted_value(text: &str) -> String {
    let characters = text.chars().take(MAX_UNQUOTED_CHARS);
    characters
        .map(|character| match character {
            '"' | '=' => '_',
            character if character.is_control() || character.is_whitespace() => '_',
            character => character,
        })
        .collect()
}
