//! A value for each role of a server.

use crate::api::Role;

/// All roles, in the order in which they are gone through.
pub const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];

/// One value for each role.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PerRole<T> {
    prefill: T,
    decode: T,
    mixed: T,
}

impl<T> PerRole<T> {
    /// The value of a role.
    pub fn get(&self, role: Role) -> &T {
        match role {
            Role::Prefill => &self.prefill,
            Role::Decode => &self.decode,
            Role::Mixed => &self.mixed,
        }
    }

    /// The value of a role, to be changed.
    pub fn get_mut(&mut self, role: Role) -> &mut T {
        match role {
            Role::Prefill => &mut self.prefill,
            Role::Decode => &mut self.decode,
            Role::Mixed => &mut self.mixed,
        }
    }

    /// The values that a function makes of these.
    pub fn map<U>(self, f: impl Fn(T) -> U) -> PerRole<U> {
        PerRole { prefill: f(self.prefill), decode: f(self.decode), mixed: f(self.mixed) }
    }
}
