package org.corianderweir.model.configuration;

/**
 * The access key of a caller as the configuration stores it. It has only the salted hash of the
 * secret, never the secret itself.
 *
 * @param identifier public part of the key
 * @param organisation name of the organisation that the key belongs to
 * @param salt random bytes, hexadecimal
 * @param hash SHA-256 hash of salt and secret, hexadecimal
 */
public record AccessKey(String identifier, String organisation, String salt, String hash) {}
