package org.corianderweir.protocol;

/** A message between two entry instances. */
public sealed interface PeerMessage
    permits MembershipMessage,
        ConfigurationMessage,
        LimitMessage,
        DemandMessage,
        ServerReportMessage,
        StoreRelayMessage {}
