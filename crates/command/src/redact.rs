//! Words of commands as they are kept.

/// Options whose values are secret.
const SECRET: [&str; 1] = ["--key"];

/// Stands in place of a secret value.
const MASK: &str = "***";

/// Joins the words of a command, without bearer keys and without what only
/// concerns the printing.
#[must_use]
pub fn redact<S: AsRef<str>>(words: &[S]) -> String {
    let mut kept: Vec<&str> = Vec::with_capacity(words.len());
    let mut secret = false;
    let history = words.first().is_some_and(|word| word.as_ref() == "config");
    for word in words.iter().map(AsRef::as_ref) {
        let option = word.split_once('=').map_or(word, |(option, _)| option);
        if secret {
            kept.push(MASK);
            secret = false;
            continue;
        }
        if word == "--json" || word == "--wait" {
            continue;
        }
        if !history && SECRET.contains(&option) {
            kept.push(option);
            secret = option == word;
            if !secret {
                kept.push(MASK);
            }
            continue;
        }
        kept.push(word);
    }
    kept.join(" ")
}
