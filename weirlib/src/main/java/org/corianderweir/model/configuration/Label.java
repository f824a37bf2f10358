package org.corianderweir.model.configuration;

/**
 * A name and a value that operators attach to a backend server, availability zone or region.
 *
 * @param name name of the label
 * @param value value of the label
 */
public record Label(String name, String value) {}
