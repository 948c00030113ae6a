//! The terminal console. [`words`] is how things are called, here and in the tables of `gaparch ctl`.

pub mod words;
