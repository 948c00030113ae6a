//! The running router (begun).
