//! Prompt texts. The stand-ins' model counts each word as one position.

use banyannotch::random::Random;

const WORDS: [&str; 24] = [
    "flight",
    "delay",
    "claim",
    "passenger",
    "boarding",
    "letter",
    "airline",
    "evidence",
    "прибытие",
    "рейс",
    "багаж",
    "lidojums",
    "kavējums",
    "prasība",
    "sleeve",
    "toploader",
    "deck",
    "box",
    "order",
    "listing",
    "catalogue",
    "stock",
    "supplier",
    "summary",
];

/// Returns a prompt with the given number of words. The first word is a random number, so that prompts
/// differ.
pub fn prompt(random: &mut Random, words: usize) -> String {
    let number = random.below(1 << 40);
    let mut text = format!("{number:x}");
    for _ in 1..words {
        text.push(' ');
        text.push_str(WORDS.get(random.below(WORDS.len())).copied().unwrap_or_default());
    }
    text
}

/// Returns the shared beginning of the prompts of a task.
pub fn shared_prefix(random: &mut Random, words: usize) -> String {
    prompt(random, words)
}
