package org.corianderweir.model.platform;

/**
 * A value of the platform's key-value service.
 *
 * @param version version of the key, which is 1 after the first write and grows with each write
 * @param value text of at most one megabyte
 */
public record StoredValue(long version, String value) {}
