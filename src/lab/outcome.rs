/// What a play came to: measures by name, always in the same order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Each measure's name and value.
    pub measures: Vec<(String, f64)>,
}

impl Outcome {
    /// Adds a measure.
    pub fn add(&mut self, name: impl Into<String>, value: f64) {
        self.measures.push((name.into(), value));
    }

    /// The measure with this name.
    pub fn get(&self, name: &str) -> Option<f64> {
        let mut all = self.measures.iter();
        all.find(|(own, _)| own == name).map(|(_, value)| *value)
    }
}
