//! Bytes on sockets that must stay as they are: frames between processes, and the requests and answers of HTTP/1.1.

mod golden {
    mod answers;
    mod examples;
    mod frames;
    mod requests;
    mod sockets;
}
