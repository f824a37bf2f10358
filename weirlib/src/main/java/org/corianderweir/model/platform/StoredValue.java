package org.corianderweir.model.platform;

/**
 * A value of the platform's key-value service.
 *
 * @param version grows with each write of the key; the first is one
 * @param value text of at most one megabyte
 */
public record StoredValue(long version, String value) {}
