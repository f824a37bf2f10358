package org.corianderweir.logic.steering;

import java.util.List;
import org.corianderweir.model.configuration.LabelCondition;

/**
 * Identifies a cell: the backend servers of one destination in one availability zone.
 *
 * @param conditions label conditions of the destination
 * @param availabilityZone name of the zone
 */
public record CellKey(List<LabelCondition> conditions, String availabilityZone) {}
