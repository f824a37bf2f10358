/** What an entry instance needs to know to forward requests: routes, services, servers, members. */
@NullMarked
package org.corianderweir.model.traffic;

import org.jspecify.annotations.NullMarked;
