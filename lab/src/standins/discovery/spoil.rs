//! Answers of discovery that are spoilt on command.

use crate::standins::http::answer;

/// What is wrong with one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spoil {
    /// The connection ends in the middle of it.
    Cut,
    /// It stops in the middle, and its connection stays open.
    Endless,
    /// Its braces are gone.
    Garbled,
    /// Its head states half of its length, and all of it follows.
    ShortLength,
    /// Noise follows it.
    Surplus,
    /// It is whole and sound, and each part of it stands on a line of its own.
    Indented,
    /// It tells the list as it stood when this was last asked for by [`super::View::remember`], whole, with its version of then.
    Older,
}

/// How an answer ends.
pub(super) enum End {
    /// It is whole.
    None,
    /// With its connection.
    Cut,
    /// Not at all.
    Open,
}

impl Spoil {
    /// The spoilt form of an answer, and how it ends. [`Spoil::Older`] is another answer, which only the view can make.
    pub(super) fn apply(self, text: &str) -> (String, End) {
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((text, ""));
        let first_half = || text[..text.len() - body.len() / 2 - 1].to_string();
        match self {
            Spoil::Cut => (first_half(), End::Cut),
            Spoil::Endless => (first_half(), End::Open),
            Spoil::Garbled => (format!("{head}\r\n\r\n{}", body.replace('{', "?")), End::None),
            Spoil::ShortLength => {
                let (whole, half) = (body.len(), body.len() / 2);
                let head =
                    head.replace(&format!("Content-Length: {whole}"), &format!("Content-Length: {half}"));
                (format!("{head}\r\n\r\n{body}"), End::None)
            }
            Spoil::Surplus => (format!("{text}noise"), End::None),
            Spoil::Indented => {
                let lines = body.replace(",\"", ",\n    \"").replace('{', "{\n    ");
                (answer(200, "Content-Type: application/json\r\n", &lines), End::None)
            }
            Spoil::Older => (text.to_string(), End::None),
        }
    }
}
