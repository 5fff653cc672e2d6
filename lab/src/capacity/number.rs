//! Numbers for people: three significant digits, thousands apart, the same text for the same number everywhere.

/// Digits that a measured figure is shown with.
pub const SIGNIFICANT_DIGITS: i32 = 3;

/// From here on, and below its inverse, a number is written with an exponent.
const EXPONENT_FROM: f64 = 1e12;

/// A figure with three significant digits: `0.0787`, `4.2`, `218,000`. `None` if it is not a finite number.
pub fn figure(number: f64) -> Option<String> {
    if !number.is_finite() {
        return None;
    }
    if number == 0.0 {
        return Some("0".into());
    }
    let size = number.abs();
    if !(1.0 / EXPONENT_FROM..EXPONENT_FROM).contains(&size) {
        return Some(format!("{number:.2e}"));
    }
    Some(decimal(number))
}

/// A count in full: `1,600`. `None` if it is not a finite number.
pub fn count(number: f64) -> Option<String> {
    number.is_finite().then(|| apart(&format!("{:.0}", number.round() + 0.0)))
}

fn decimal(number: f64) -> String {
    // Written with an exponent first: rounding may carry 9.996 to 10.0, and the exponent follows.
    let scientific = format!("{:.*e}", (SIGNIFICANT_DIGITS - 1) as usize, number);
    let exponent: i32 = scientific.rsplit('e').next().and_then(|text| text.parse().ok()).unwrap_or(0);
    let rounded: f64 = scientific.parse().unwrap_or(number);
    let decimals = (SIGNIFICANT_DIGITS - 1 - exponent).max(0) as usize;
    let text = format!("{rounded:.decimals$}");
    match text.contains('.') {
        true => text.trim_end_matches('0').trim_end_matches('.').into(),
        false => apart(&text),
    }
}

/// Sets a comma before each three digits of a whole number.
fn apart(digits: &str) -> String {
    let (sign, digits) = digits.strip_prefix('-').map_or(("", digits), |rest| ("-", rest));
    let mut text = String::from(sign);
    for (place, digit) in digits.chars().enumerate() {
        if place > 0 && (digits.len() - place) % 3 == 0 {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

#[cfg(test)]
mod tests;
