package org.corianderweir.logic.platform;

import org.corianderweir.model.traffic.FleetMember;

/** What the keys and values of the store mean. */
public interface StoreSchema {
  /** Decodes an item. */
  DecodedItem decode(String key, byte[] value);

  /** Returns the key under which an entry instance registers. */
  String memberKey(FleetMember member);

  /** Returns the key of the secret that entry instances prove to each other. */
  String peerSecretKey();

  /** Encodes the registration of an entry instance. */
  byte[] encode(FleetMember member);
}
