//! Texts that an engine has read lately and need not read again.

use std::collections::BTreeMap;

/// The least lately used goes when there are too many.
#[derive(Clone, Debug)]
pub(super) struct KeptTexts {
    by_key: BTreeMap<u64, (u32, u64)>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    most: usize,
}

impl KeptTexts {
    pub fn new(most: usize) -> Self {
        KeptTexts { by_key: BTreeMap::new(), by_use: BTreeMap::new(), uses: 0, most }
    }

    /// Tokens kept of that text.
    pub fn find(&mut self, key: u64) -> u32 {
        let Some((tokens, _)) = self.by_key.get(&key).copied() else { return 0 };
        self.keep(key, tokens);
        tokens
    }

    pub fn keep(&mut self, key: u64, tokens: u32) {
        self.uses += 1;
        if let Some((_, used)) = self.by_key.insert(key, (tokens, self.uses)) {
            self.by_use.remove(&used);
        }
        self.by_use.insert(self.uses, key);
        while self.by_key.len() > self.most {
            let Some((_, oldest)) = self.by_use.pop_first() else { break };
            self.by_key.remove(&oldest);
        }
    }
}
