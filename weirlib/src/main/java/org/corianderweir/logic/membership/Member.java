package org.corianderweir.logic.membership;

import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;

/**
 * What is known of an entry instance.
 *
 * @param instance where it is
 * @param incarnation grows with each start of the process
 * @param state its own word on its state
 * @param revision configuration revision that it has in force
 */
public record Member(
    EntryInstance instance, long incarnation, InstanceState state, long revision) {}
