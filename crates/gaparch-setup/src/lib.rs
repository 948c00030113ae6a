//! The first start and the doctor, without I/O: [`init`] says which files to write, [`doctor`] what is wrong with
//! what was found, each with what to do.

pub mod doctor;
pub mod init;
