package org.corianderweir.model.store;

/**
 * An item of the store.
 *
 * @param key its key
 * @param value its bytes
 * @param revision revision of the store at its last change
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreItem(String key, byte[] value, long revision) {}
