//! A value for each server role.

use crate::api::Role;

/// All roles, in iteration order.
pub const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];

/// One value for each role.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PerRole<T> {
    prefill: T,
    decode: T,
    mixed: T,
}

impl<T> PerRole<T> {
    /// The value for a role.
    pub fn get(&self, role: Role) -> &T {
        match role {
            Role::Prefill => &self.prefill,
            Role::Decode => &self.decode,
            Role::Mixed => &self.mixed,
        }
    }

    /// A mutable reference to the value for a role.
    pub fn get_mut(&mut self, role: Role) -> &mut T {
        match role {
            Role::Prefill => &mut self.prefill,
            Role::Decode => &mut self.decode,
            Role::Mixed => &mut self.mixed,
        }
    }

    /// Applies a function to each value.
    pub fn map<U>(self, f: impl Fn(T) -> U) -> PerRole<U> {
        PerRole { prefill: f(self.prefill), decode: f(self.decode), mixed: f(self.mixed) }
    }
}
