package org.corianderweir.model.configuration;

/**
 * A place that client blocks are steered to.
 *
 * @param number number by which client blocks name the site, from 0 to 65534
 * @param name unique name
 * @param availabilityZone availability zone whose entry instances serve the site's clients
 */
public record Site(int number, String name, String availabilityZone) {}
