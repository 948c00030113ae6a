//! Enums whose variants have names in the settings and in output.

/// Defines a fieldless enum whose variants have names.
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
            /// All variants, in the order of declaration.
            pub const ALL: &'static [$name] = &[$($name::$variant,)*];

            /// The name of the variant.
            pub fn name(self) -> &'static str {
                match self {
                    $($name::$variant => $text,)*
                }
            }

            /// Returns the variant with this name.
            pub fn from_name(name: &str) -> Option<$name> {
                $name::ALL.iter().copied().find(|variant| variant.name() == name)
            }
        }
    };
}

pub(crate) use named_enum;
