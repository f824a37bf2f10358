package org.corianderweir.model.configuration;

/**
 * A reference to a document with a part of a configuration.
 *
 * @param kind name of the part, for example {@code keys}
 * @param hash SHA-256 hash of its text, hexadecimal
 */
public record DocumentReference(String kind, String hash) {}
