package org.corianderweir.http;

/**
 * A header field of a request or response.
 *
 * @param name case-insensitive name
 * @param value value without surrounding whitespace
 */
public record HttpHeader(String name, String value) {}
