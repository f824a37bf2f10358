package org.corianderweir.model.configuration;

/**
 * A name and a value that operators attach to a backend server, availability zone or region.
 *
 * @param name what the label is about
 * @param value its value
 */
public record Label(String name, String value) {}
