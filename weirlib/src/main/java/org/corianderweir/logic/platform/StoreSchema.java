package org.corianderweir.logic.platform;

import org.corianderweir.model.traffic.FleetMember;

/** The keys and value formats of the metadata store. */
public interface StoreSchema {
  /** Decodes an item; invalid items are returned as {@link DecodedItem.Unreadable}. */
  DecodedItem decode(String key, byte[] value);

  /** Returns the key under which an entry instance registers. */
  String memberKey(FleetMember member);

  /** Returns the key of the secret by which entry instances authenticate to each other. */
  String peerSecretKey();

  /** Encodes the registration of an entry instance. */
  byte[] encode(FleetMember member);
}
