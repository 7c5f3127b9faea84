//! Injected faults of a stand-in and the patches that change them at run time.

#[cfg(test)]
mod tests;

/// Defines a set of faults and the type of the patch in the body of `POST /control/faults`. Faults that are
/// absent from a patch keep their value. An unknown fault is an error, because a run with a misspelt fault
/// would otherwise look healthy although the fault was never injected.
macro_rules! faults {
    (
        $(#[$doc:meta])* $name:ident, $patch:ident {
            $($(#[$field_doc:meta])* $field:ident: $type:ty = $default:expr,)*
        }
    ) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, serde::Serialize)]
        pub struct $name {
            $($(#[$field_doc])* pub $field: $type,)*
        }

        impl Default for $name {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }

        /// Patch that changes some of the faults.
        #[derive(Clone, Debug, Default, PartialEq, serde::Deserialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct $patch {
            $($(#[$field_doc])* pub $field: Option<$type>,)*
        }

        impl $name {
            /// Sets the faults that the patch contains.
            pub fn merge(&mut self, patch: $patch) {
                $(if let Some(value) = patch.$field {
                    self.$field = value;
                })*
            }
        }
    };
}

pub(crate) use faults;

/// Decrements a counter of faults that are still to be injected, unless it is zero. Returns whether a
/// fault is to be injected now.
pub(crate) fn take_one(remaining: &mut u32) -> bool {
    let available = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    available
}
