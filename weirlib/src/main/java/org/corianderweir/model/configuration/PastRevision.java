package org.corianderweir.model.configuration;

/**
 * An earlier revision whose documents are still stored.
 *
 * @param change change that made the revision
 * @param indexHash SHA-256 hash of its index, hexadecimal
 */
public record PastRevision(AcceptedChange change, String indexHash) {}
