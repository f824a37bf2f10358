package org.corianderweir.model.platform;

/**
 * A value in the store.
 *
 * @param version version of the key, which is 1 after the first write and grows with each write
 * @param value text of at most one megabyte
 */
public record StoredValue(long version, String value) {}
