package org.corianderweir.model.configuration;

/**
 * A caller's key as the configuration stores it: never the secret, only its salted hash.
 *
 * @param identifier public part of the key
 * @param organisation name of the organisation that the key belongs to
 * @param salt random bytes, hexadecimal
 * @param hash SHA-256 of salt and secret, hexadecimal
 */
public record AccessKey(String identifier, String organisation, String salt, String hash) {}
