//! Helpers to define command-line options.

use std::fmt::Display;
use std::str::FromStr;

use bpaf::{Parser, long};

/// Creates an option with a default value, which the help shows.
pub fn option<T>(name: &'static str, help: &'static str, default: T) -> impl Parser<T>
where
    T: Clone + Display + FromStr + 'static,
    T::Err: Display,
{
    long(name).help(help).argument::<T>("VALUE").fallback(default).display_fallback()
}

/// Creates a text option with a default value, which the help shows.
pub fn name_option(name: &'static str, help: &'static str, default: &'static str) -> impl Parser<String> {
    option(name, help, default.to_owned())
}

/// Creates the option for the TCP port to listen on.
pub fn port_option() -> impl Parser<u16> {
    option("port", "Port on 127.0.0.1; 0 lets the kernel choose", 0)
}
