package org.corianderweir.http;

/**
 * The head of a response.
 *
 * @param status status code
 * @param headers header fields, without those that frame the body
 * @param framing how the end of the body is found
 * @param keepsConnection whether the server keeps the connection for further requests
 */
record ResponseHead(
    int status, HttpHeaders headers, BodyFraming framing, boolean keepsConnection) {}
