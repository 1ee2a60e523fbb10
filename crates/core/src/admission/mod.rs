//! Admission at a back end: adaptive limit, bounded queue and admission level.
