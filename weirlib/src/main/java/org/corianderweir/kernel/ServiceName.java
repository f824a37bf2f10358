package org.corianderweir.kernel;

/**
 * The name under which a service is registered and the type by which it is used.
 *
 * @param name unique name
 * @param type interface or class that users of the service see
 * @param <T> the type
 */
public record ServiceName<T>(String name, Class<T> type) {}
