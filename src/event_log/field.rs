//! Texts of others as values in a line: they can neither end their field nor the line.

/// The longest text in quotation marks, in characters.
const PHRASE_CHARS: usize = 160;

/// The longest word, in characters.
const WORD_CHARS: usize = 80;

/// A text as the value of a field in quotation marks.
pub fn to_phrase(text: &str) -> String {
    let letters = text.chars().take(PHRASE_CHARS);
    letters
        .map(|letter| match letter {
            '"' => '\'',
            letter if letter.is_control() => ' ',
            letter => letter,
        })
        .collect()
}

/// A text as the value of a field without quotation marks.
pub fn to_word(text: &str) -> String {
    let letters = text.chars().take(WORD_CHARS);
    letters
        .map(|letter| match letter {
            '"' | '=' => '_',
            letter if letter.is_control() || letter.is_whitespace() => '_',
            letter => letter,
        })
        .collect()
}
