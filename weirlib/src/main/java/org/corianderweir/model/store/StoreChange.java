package org.corianderweir.model.store;

/** A change of one key of the store. */
public sealed interface StoreChange {
  /** Returns the key that changed. */
  String key();

  /** Returns the revision of the store after the change. */
  long revision();

  /** A key was written. */
  record Written(StoreItem item) implements StoreChange {
    @Override
    public String key() {
      return item.key();
    }

    @Override
    public long revision() {
      return item.revision();
    }
  }

  /** A key was removed. */
  record Removed(String key, long revision) implements StoreChange {}
}
