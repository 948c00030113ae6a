//! What can be made to go wrong, and scripts that switch it on and off.

use gaparch_scheduler::api::Nanos;
use std::str::FromStr;
use thiserror::Error;
use winnow::ascii::{dec_uint, float, space1};
use winnow::combinator::{alt, cut_err, dispatch, empty, eof, fail, preceded, terminated};
use winnow::error::{StrContext, StrContextValue};
use winnow::token::take_while;
use winnow::{ModalResult, Parser};

/// One trouble. Those with a figure or a flag stay until they are set back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The process ends in good order: it says goodbye and closes.
    Stop,
    /// The process is gone without a word; connections break.
    Crash,
    /// It begins again, cold and with nothing, under the same name.
    Start,
    /// It stands still, with all it has.
    Pause(bool),
    /// All its work takes so many times longer; 1 is as usual.
    Slow(f64),
    /// Of what it is sent, this share gets an error at once.
    Errors(f64),
    /// It turns away what is of this class, or of this tenant, as if it were full.
    FullToClass(Option<u16>),
    FullToTenant(Option<u16>),
    /// It takes what is of this class and never answers.
    SilentToClass(Option<u16>),
    /// Nothing gets through its link in either direction, and nothing says so.
    CutLink(bool),
    /// What it sends takes so much longer on the way.
    SlowLink(Nanos),
    /// States move so many times slower.
    SlowMoves(f64),
    /// Its reports tell of how it was so long ago.
    LateReports(Nanos),
    /// It takes nothing new, ends what runs, and stops after this time.
    Drain(Nanos),
}

/// Faults with the times at which they are switched, from the start of the script.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script(pub Vec<(Nanos, Fault)>);

/// A line of a script that can't be understood.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {why}")]
pub struct ScriptError {
    /// Counted from 1.
    pub line: usize,
    pub why: String,
}

impl FromStr for Script {
    type Err = ScriptError;

    /// One fault a line, such as `2.5s slow 4`, `10s pause on` or `12s full-to-class 1`; `#` begins a comment.
    fn from_str(text: &str) -> Result<Script, ScriptError> {
        let mut faults = Vec::new();
        for (number, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            let parsed = entry.parse(line);
            faults.push(parsed.map_err(|e| ScriptError {
                line: number + 1,
                why: format!("'{line}', at column {}: {}", e.offset() + 1, e.inner()),
            })?);
        }
        faults.sort_by_key(|(at, _)| *at);
        Ok(Script(faults))
    }
}

fn entry(input: &mut &str) -> ModalResult<(Nanos, Fault)> {
    let at = span.parse_next(input)?;
    let _ = space1.parse_next(input)?;
    Ok((at, fault.parse_next(input)?))
}

/// One fault, as a script names it.
pub fn fault(input: &mut &str) -> ModalResult<Fault> {
    let mut word = take_while(1.., |c: char| c.is_ascii_lowercase() || c == '-');
    terminated(
        dispatch! { word;
            "stop" => empty.value(Fault::Stop),
            "crash" => empty.value(Fault::Crash),
            "start" => empty.value(Fault::Start),
            "pause" => argument(on_off).map(Fault::Pause),
            "slow" => argument(factor).map(Fault::Slow),
            "errors" => argument(share).map(Fault::Errors),
            "full-to-class" => argument(index).map(Fault::FullToClass),
            "full-to-tenant" => argument(index).map(Fault::FullToTenant),
            "silent-to-class" => argument(index).map(Fault::SilentToClass),
            "cut-link" => argument(on_off).map(Fault::CutLink),
            "slow-link" => argument(span).map(Fault::SlowLink),
            "slow-moves" => argument(factor).map(Fault::SlowMoves),
            "late-reports" => argument(span).map(Fault::LateReports),
            "drain" => argument(span).map(Fault::Drain),
            _ => fail.context(StrContext::Label("fault")),
        },
        cut_err(eof).context(StrContext::Expected(StrContextValue::Description("nothing more"))),
    )
    .parse_next(input)
}

fn argument<'i, T>(
    value: impl FnMut(&mut &'i str) -> ModalResult<T>,
) -> impl Parser<&'i str, T, winnow::error::ErrMode<winnow::error::ContextError>> {
    preceded(space1, cut_err(value))
}

fn on_off(input: &mut &str) -> ModalResult<bool> {
    alt(("on".value(true), "off".value(false))).parse_next(input)
}

fn index(input: &mut &str) -> ModalResult<Option<u16>> {
    alt(("off".value(None), dec_uint.map(Some))).parse_next(input)
}

fn factor(input: &mut &str) -> ModalResult<f64> {
    float.verify(|f: &f64| (1.0..=10_000.0).contains(f)).parse_next(input)
}

fn share(input: &mut &str) -> ModalResult<f64> {
    float.verify(|f: &f64| (0.0..=1.0).contains(f)).parse_next(input)
}

fn span(input: &mut &str) -> ModalResult<Nanos> {
    let number: f64 = float.verify(|f: &f64| (0.0..=1e6).contains(f)).parse_next(input)?;
    let unit: f64 = alt(("ms".value(1e6), "s".value(1e9))).parse_next(input)?;
    Ok((number * unit) as Nanos)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_script_is_read_in_the_order_of_its_times() {
        let script: Script = "# a bad day\n10s pause on\n2.5s slow 4\n\n300ms full-to-class 1 # one class\n"
            .parse()
            .expect("sound");
        let wanted = [
            (300_000_000, Fault::FullToClass(Some(1))),
            (2_500_000_000, Fault::Slow(4.0)),
            (10_000_000_000, Fault::Pause(true)),
        ];
        assert_eq!(script.0, wanted);
    }

    #[test]
    fn what_is_wrong_is_named_by_its_line() {
        for text in
            ["1s slow", "1s slow 0.5", "1s sleep 4", "slow 4", "1s stop now", "1s errors 2", "NaNs stop"]
        {
            let error = format!("\n{text}").parse::<Script>().expect_err(text);
            assert_eq!(error.line, 2, "{text}");
        }
    }
}
