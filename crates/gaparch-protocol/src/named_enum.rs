//! Enums whose variants have names for people, scripts and settings.

/// An enum without values whose variants have names.
macro_rules! named_enum {
    ($(#[$meta:meta])* pub enum $name:ident {
        $($(#[$variant_meta:meta])* $variant:ident = $text:literal,)*
    }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $($(#[$variant_meta])* $variant,)*
        }

        impl $name {
            /// All variants in the order of their declaration.
            pub const ALL: &'static [$name] = &[$($name::$variant,)*];

            /// The variant's name.
            pub fn name(self) -> &'static str {
                match self {
                    $($name::$variant => $text,)*
                }
            }

            /// The variant that has this name.
            pub fn from_name(name: &str) -> Option<$name> {
                $name::ALL.iter().copied().find(|variant| variant.name() == name)
            }
        }
    };
}

pub(crate) use named_enum;
