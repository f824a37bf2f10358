/** Tests of admission, with a discrete-event simulation of servers, instances and callers. */
package org.corianderweir.logic.admission;
