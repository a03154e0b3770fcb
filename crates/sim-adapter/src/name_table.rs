//! Numbers for names, in the order in which an instance meets them.

use std::collections::HashMap;

/// Names and their numbers, from 0. A name keeps its number.
#[derive(Default)]
pub struct NameTable {
    numbers: HashMap<String, u32>,
    names: Vec<String>,
}

impl NameTable {
    /// A table that knows these names already.
    pub fn with_names(names: &[String]) -> Self {
        let mut table = NameTable::default();
        for name in names {
            table.number_of(name);
        }
        table
    }

    /// The number of a name; a new one gets the next.
    pub fn number_of(&mut self, name: &str) -> u32 {
        if let Some(&known) = self.numbers.get(name) {
            return known;
        }
        let number = self.names.len() as u32;
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), number);
        number
    }

    /// The name of a number that [`NameTable::number_of`] gave.
    pub fn name_of(&self, number: u32) -> &str {
        &self.names[number as usize]
    }
}
