//! Proportions of whole numbers.

/// Returns `value * numerator / denominator`; a denominator of 0 counts as 1.
pub(crate) fn mul_div(value: u64, numerator: u64, denominator: u64) -> u64 {
    let result = u128::from(value) * u128::from(numerator) / u128::from(denominator.max(1));
    u64::try_from(result).unwrap_or(u64::MAX)
}
