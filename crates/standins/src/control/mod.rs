//! Faults of a stand-in and the patches that change them while it runs.

#[cfg(test)]
mod tests;

/// Defines a set of faults, and the patch type that `POST /control/faults` carries. Absent fields keep their value;
/// unknown ones are an error, so that a misspelt fault cannot pass as a healthy run.
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

        /// Change of some of the faults.
        #[derive(Clone, Debug, Default, PartialEq, serde::Deserialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct $patch {
            $($(#[$field_doc])* pub $field: Option<$type>,)*
        }

        impl $name {
            /// Applies the fields that the patch holds.
            pub fn merge(&mut self, patch: $patch) {
                $(if let Some(value) = patch.$field {
                    self.$field = value;
                })*
            }
        }
    };
}

pub(crate) use faults;

/// Takes one from a counter of faults that are still to happen.
pub(crate) fn take_one(remaining: &mut u32) -> bool {
    let any = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    any
}
