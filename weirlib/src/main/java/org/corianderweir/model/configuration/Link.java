package org.corianderweir.model.configuration;

/**
 * The link from one region to another. Links have a direction: the opposite direction is a link of
 * its own.
 *
 * @param fromRegion region that sends the traffic
 * @param toRegion region that receives the traffic
 * @param megabitsPerSecond capacity for the traffic of the whole fleet together
 */
public record Link(String fromRegion, String toRegion, double megabitsPerSecond) {}
