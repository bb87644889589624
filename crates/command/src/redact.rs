//! Removal of secrets from commands.

/// Options whose values are secret.
const SECRET_OPTIONS: [&str; 1] = ["--key"];

/// Replacement of a secret value.
const MASK: &str = "***";

/// Joins the words of a command for the log and the history. Bearer keys are masked, and
/// options that concern only the client are left out.
#[must_use]
pub fn redact<S: AsRef<str>>(words: &[S]) -> String {
    let mut redacted: Vec<&str> = Vec::with_capacity(words.len());
    let mut is_secret = false;
    // `config history --key` takes a key prefix, which is not secret.
    let is_config = words.first().is_some_and(|word| word.as_ref() == "config");
    for word in words.iter().map(AsRef::as_ref) {
        let option = word.split_once('=').map_or(word, |(option, _)| option);
        if is_secret {
            redacted.push(MASK);
            is_secret = false;
            continue;
        }
        if word == "--json" || word == "--wait" {
            continue;
        }
        if !is_config && SECRET_OPTIONS.contains(&option) {
            redacted.push(option);
            is_secret = option == word;
            if !is_secret {
                redacted.push(MASK);
            }
            continue;
        }
        redacted.push(word);
    }
    redacted.join(" ")
}
