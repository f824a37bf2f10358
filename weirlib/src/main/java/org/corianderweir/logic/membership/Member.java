package org.corianderweir.logic.membership;

import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;

/**
 * The state of an entry instance as it last reported it.
 *
 * @param instance its name, availability zone and addresses
 * @param incarnation grows with each start of the process
 * @param state its state in the fleet
 * @param revision configuration revision that it has in force
 */
public record Member(
    EntryInstance instance, long incarnation, InstanceState state, long revision) {}
