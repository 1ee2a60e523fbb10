//! The commands of the operators' toolbox.
