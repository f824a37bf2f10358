package org.corianderweir.http;

/**
 * A header field of a request or an answer.
 *
 * @param name name in any case
 * @param value value without surrounding blanks
 */
public record HttpHeader(String name, String value) {}
