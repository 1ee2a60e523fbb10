//! Suggestions for misspelt names.

/// Maximum edit distance at which a known name is suggested.
const MAX_DISTANCE: usize = 3;

/// Returns the known name with the smallest edit distance to `input`, or `None` when the distance
/// exceeds [`MAX_DISTANCE`] or no character would be kept.
#[must_use]
pub fn nearest<'a>(input: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|name| (edit_distance(input, name), name))
        .filter(|(distance, name)| *distance <= MAX_DISTANCE && *distance < name.len())
        .min()
        .map(|(_, name)| name)
}

/// Returns a hint to append to a message about an unknown name; empty when no known name is close.
#[must_use]
pub fn suggestion<'a>(input: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    nearest(input, known).map_or_else(String::new, |name| format!(", did you mean \"{name}\"?"))
}

/// Levenshtein distance of two texts, in characters.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, left_character) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, right_character) in right.iter().enumerate() {
            let substitution = diagonal + usize::from(left_character != *right_character);
            diagonal = row[column + 1];
            row[column + 1] = substitution.min(row[column] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
