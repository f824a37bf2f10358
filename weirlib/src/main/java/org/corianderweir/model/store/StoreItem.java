package org.corianderweir.model.store;

/**
 * A key of the store with its value.
 *
 * @param key the key
 * @param value bytes of the value
 * @param revision revision of the store at its last change
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreItem(String key, byte[] value, long revision) {}
