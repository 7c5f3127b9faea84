//! Tests of priority admission control.

mod classes;
