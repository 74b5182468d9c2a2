//! Standard base64 with padding, as the store encodes values.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for group in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = number << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let symbol = ALPHABET[(number >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index <= group.len() { symbol } else { '=' });
        }
    }
    text
}
