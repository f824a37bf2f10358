package org.corianderweir.kernel;

/** Finds services by name. */
public interface ServiceDirectory {
  /**
   * Returns the service that is registered under a name.
   *
   * @throws org.corianderweir.model.WeirException with code {@code SERVICE_UNKNOWN} if no service
   *     of that type is registered under the name
   */
  <T> T find(ServiceName<T> name);
}
