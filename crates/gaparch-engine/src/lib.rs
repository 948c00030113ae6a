//! A model of reading and writing engines, and a stand-in that serves it on a socket (begun).
