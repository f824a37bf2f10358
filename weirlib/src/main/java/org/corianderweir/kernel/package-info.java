/**
 * The service kernel: registration, dependencies and life cycle of services, and the control
 * thread.
 */
@NullMarked
package org.corianderweir.kernel;

import org.jspecify.annotations.NullMarked;
